package settings

import (
	"fmt"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Source is where settings are read from. Later sources override earlier ones:
// the file, the environment, the flags.
type Source struct {
	// File is the path of the YAML file; empty means none.
	File string
	// LookupEnv reads an environment variable, as os.LookupEnv does.
	LookupEnv func(name string) (string, bool)
	// LookupFlag reads a flag that was set on the command line.
	LookupFlag func(name string) (string, bool)
}

// Problem is one fault of the settings.
type Problem struct {
	// Where is the file and line, the variable or the flag.
	Where string
	// Key is the setting's name.
	Key string
	// Reason says what is wrong with it.
	Reason string
}

// Error lists all problems that were found; the settings are not usable.
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

// Load reads and checks the settings. The error is an *Error.
func Load(src Source) (Settings, error) {
	l := loader{settings: defaults(), values: map[string]value{}}
	l.readFile(src.File)
	for _, k := range Keys() {
		l.override(k, "environment "+k.Env(), lookup(src.LookupEnv, k.Env()))
		l.override(k, "flag --"+k.Flag(), lookup(src.LookupFlag, k.Flag()))
	}
	l.apply(src.File)
	if len(l.problems) == 0 {
		l.checkTogether(src.File)
	}
	if len(l.problems) > 0 {
		return Settings{}, &Error{Problems: l.problems}
	}
	return l.settings, nil
}

// value is the text of one setting and where it was found.
type value struct {
	texts []string
	where string
}

type loader struct {
	settings Settings
	values   map[string]value
	problems []Problem
}

func (l *loader) problem(where, key, format string, args ...any) {
	l.problems = append(l.problems, Problem{Where: where, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (l *loader) readFile(path string) {
	if path == "" {
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		l.problem(path, "file", "%v", err)
		return
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		l.problem(path, "file", "%v", err)
		return
	}
	if len(doc.Content) == 0 {
		l.problem(path, "file", "is empty")
		return
	}
	l.readMapping(path, "", doc.Content[0])
}

// readMapping collects the settings below one mapping of the file.
func (l *loader) readMapping(path, prefix string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		l.problem(at(path, node), keyName(prefix), "want a mapping of keys to values")
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		l.readEntry(path, prefix+node.Content[i].Value, node.Content[i], node.Content[i+1])
	}
}

func (l *loader) readEntry(path, name string, key, val *yaml.Node) {
	where := at(path, key)
	if k, ok := findKey(name); ok {
		l.readValue(path, k, where, val)
		return
	}
	if isGroup(name) {
		l.readMapping(path, name+".", val)
		return
	}
	l.problem(where, name, "unknown key")
}

func (l *loader) readValue(path string, k Key, where string, val *yaml.Node) {
	if _, twice := l.values[k.Name]; twice {
		l.problem(where, k.Name, "stands twice")
		return
	}
	v := value{where: where}
	switch {
	case val.Kind == yaml.ScalarNode && val.Tag != "!!null" && !k.List:
		v.texts = []string{val.Value}
	case val.Kind == yaml.SequenceNode && k.List:
		for _, item := range val.Content {
			if item.Kind != yaml.ScalarNode || item.Tag == "!!null" {
				l.problem(at(path, item), k.Name, "want a list of plain values")
				return
			}
			v.texts = append(v.texts, item.Value)
		}
	case k.List:
		l.problem(where, k.Name, "want a list")
		return
	default:
		l.problem(where, k.Name, "want a plain value")
		return
	}
	l.values[k.Name] = v
}

// override replaces the value from the file, if text is given.
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

// apply parses each value and reports required settings that are missing.
func (l *loader) apply(path string) {
	for _, k := range Keys() {
		v, found := l.values[k.Name]
		if !found {
			if k.Required && !(k.OwnerOnly && l.settings.Steering == SteeringToken) {
				l.problem(fileOr(path), k.Name, "is missing; set it in the file, as %s or by --%s", k.Env(), k.Flag())
			}
			continue
		}
		if k.Required && len(v.texts) == 0 {
			l.problem(v.where, k.Name, "the list is empty")
			continue
		}
		if err := k.set(&l.settings, v.texts); err != nil {
			l.problem(v.where, k.Name, "%v", err)
		}
	}
}

func (l *loader) whereOf(key, path string) string {
	if v, ok := l.values[key]; ok {
		return v.where
	}
	return fileOr(path)
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

func at(path string, node *yaml.Node) string {
	return fmt.Sprintf("%s:%d", path, node.Line)
}

func keyName(prefix string) string {
	if prefix == "" {
		return "file"
	}
	return strings.TrimSuffix(prefix, ".")
}

func fileOr(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}
