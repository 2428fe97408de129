package settings

import (
	"fmt"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Source lists the sources of the settings: the file, the environment and the
// flags, in this order. Later sources override earlier ones.
type Source struct {
	// File is the path of the YAML file; empty means none.
	File string
	// LookupEnv returns an environment variable, as os.LookupEnv does. It may be
	// nil.
	LookupEnv func(name string) (string, bool)
	// LookupFlag returns the value of a flag and whether it was set on the command
	// line. It may be nil.
	LookupFlag func(name string) (string, bool)
}

// Problem is one invalid, unknown or missing setting.
type Problem struct {
	// Where is the file and line, the environment variable or the flag.
	Where string
	// Key is the setting's name.
	Key string
	// Reason describes what is wrong.
	Reason string
}

// Error lists all problems that Load found.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s: %s", p.Where, p.Key, p.Reason)
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the settings. The error is an *Error.
func Load(src Source) (Settings, error) {
	l := loader{settings: defaults(), values: map[string]value{}}
	l.readFile(src.File)
	for _, k := range Keys() {
		l.override(k, "environment "+k.Env(), lookup(src.LookupEnv, k.Env()))
		l.override(k, "flag --"+k.Flag(), lookup(src.LookupFlag, k.Flag()))
	}
	l.apply(src.File)
	if len(l.problems) == 0 {
		l.checkConsistency(src.File)
	}
	if len(l.problems) > 0 {
		return Settings{}, &Error{Problems: l.problems}
	}
	return l.settings, nil
}

// value holds the unparsed values of one setting and their location.
type value struct {
	texts []string
	where string
}

// ifKnownGroup is the group of the file for settings that not all versions in use know:
// a version that does not know one ignores it.
const ifKnownGroup = "if_known"

type loader struct {
	settings Settings
	values   map[string]value
	problems []Problem
	// ifKnown is set while the group if_known is read.
	ifKnown bool
}

func (l *loader) addProblem(where, key, format string, args ...any) {
	l.problems = append(l.problems, Problem{Where: where, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (l *loader) readFile(path string) {
	if path == "" {
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		l.addProblem(path, "file", "%v", err)
		return
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		l.addProblem(path, "file", "%v", err)
		return
	}
	if len(doc.Content) == 0 {
		l.addProblem(path, "file", "is empty")
		return
	}
	l.readMapping(path, "", doc.Content[0])
}

// readMapping collects the settings in one mapping of the file.
func (l *loader) readMapping(path, prefix string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		l.addProblem(nodeLocation(path, node), mappingName(prefix), "want a mapping of keys to values")
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		l.readEntry(path, prefix+node.Content[i].Value, node.Content[i], node.Content[i+1])
	}
}

func (l *loader) readEntry(path, name string, key, val *yaml.Node) {
	where := nodeLocation(path, key)
	if k, ok := findKey(name); ok {
		l.readValue(path, k, where, val)
		return
	}
	switch {
	case isGroup(name):
		l.readMapping(path, name+".", val)
	case l.ifKnown:
		l.settings.Ignored = append(l.settings.Ignored, Problem{Where: where, Key: name, Reason: "unknown to this version"})
	case name == ifKnownGroup:
		l.ifKnown = true
		l.readMapping(path, "", val)
		l.ifKnown = false
	default:
		l.addProblem(where, name, "unknown key")
	}
}

func (l *loader) readValue(path string, k Key, where string, val *yaml.Node) {
	if _, twice := l.values[k.Name]; twice {
		l.addProblem(where, k.Name, "is set twice")
		return
	}
	v := value{where: where}
	switch {
	case val.Kind == yaml.ScalarNode && val.Tag != "!!null" && !k.List:
		v.texts = []string{val.Value}
	case val.Kind == yaml.SequenceNode && k.List:
		for _, item := range val.Content {
			if item.Kind != yaml.ScalarNode || item.Tag == "!!null" {
				l.addProblem(nodeLocation(path, item), k.Name, "want a list of plain values")
				return
			}
			v.texts = append(v.texts, item.Value)
		}
	case k.List:
		l.addProblem(where, k.Name, "want a list")
		return
	default:
		l.addProblem(where, k.Name, "want a plain value")
		return
	}
	l.values[k.Name] = v
}

// override replaces the value from an earlier source unless text is nil.
func (l *loader) override(k Key, where string, text *string) {
	if text == nil {
		return
	}
	v := value{where: where, texts: []string{*text}}
	if k.List {
		v.texts = splitList(*text)
	}
	l.values[k.Name] = v
}

// apply parses each value and records a problem for each required setting that
// is missing.
func (l *loader) apply(path string) {
	for _, k := range Keys() {
		v, found := l.values[k.Name]
		if !found {
			if k.Required && !(k.OwnerOnly && l.settings.Steering == SteeringToken) {
				l.addProblem(fileLocation(path), k.Name, "is missing; set it in the file, as %s or by --%s", k.Env(), k.Flag())
			}
			continue
		}
		if k.Required && len(v.texts) == 0 {
			l.addProblem(v.where, k.Name, "the list is empty")
			continue
		}
		if err := k.set(&l.settings, v.texts); err != nil {
			l.addProblem(v.where, k.Name, "%v", err)
		}
	}
}

func (l *loader) location(key, path string) string {
	if v, ok := l.values[key]; ok {
		return v.where
	}
	return fileLocation(path)
}

func lookup(from func(string) (string, bool), name string) *string {
	if from == nil {
		return nil
	}
	text, ok := from(name)
	if !ok {
		return nil
	}
	return &text
}

func findKey(name string) (Key, bool) {
	for _, k := range Keys() {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func isGroup(name string) bool {
	for _, k := range Keys() {
		if strings.HasPrefix(k.Name, name+".") {
			return true
		}
	}
	return false
}

func splitList(text string) []string {
	var list []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

func nodeLocation(path string, node *yaml.Node) string {
	return fmt.Sprintf("%s:%d", path, node.Line)
}

func mappingName(prefix string) string {
	if prefix == "" {
		return "file"
	}
	return strings.TrimSuffix(prefix, ".")
}

func fileLocation(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}
