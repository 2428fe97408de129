package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"
)

const (
	deployTemplate = "../../deploy/settings.yaml"
	// oldestVersion is the version before the key link_mbps. It starts with the current
	// template only where the platform names no bandwidth.
	oldestVersion = "3d9c8c0"
)

// versions are the commits from which an upgrade is supported. testdata/versions holds
// the keys that each knows and its template of the settings.
var versions = []string{oldestVersion, "1fbf883", "e33d031", "2e1abc1"}

// templateVariables are what the platform fills into a template for one host.
var templateVariables = strings.NewReplacer(
	`[{{#seed_nodes}}"{{.}}"{{,}}{{/seed_nodes}}]`, `["127.0.0.2:7720", "127.0.0.3:7720"]`,
	"{{node_name}}", "edge-a-1", "{{zone}}", "a", "{{listen_addrs.datagram_addr}}", "127.0.0.1:6080",
	"{{listen_addrs.ready_addr}}", "127.0.0.1:6082", "{{ip}}", "127.0.0.1", "{{internal_ports.0}}", "7720",
	"{{platform.address}}", "127.0.0.1:8500",
)

// bandwidthSection is the part of a template that stands only where the platform names a
// bandwidth.
var bandwidthSection = regexp.MustCompile(`(?m)^\{\{#limits\.link_mbps\}\}(.*)\{\{\.\}\}\{\{/limits\.link_mbps\}\}$`)

func renderTemplate(t *testing.T, path string, withBandwidth bool) string {
	t.Helper()
	text, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	line := ""
	if withBandwidth {
		line = "${1}200"
	}
	rendered := templateVariables.Replace(bandwidthSection.ReplaceAllString(string(text), line))
	if strings.Contains(rendered, "{{") {
		t.Fatalf("%s has a variable that this test does not know:\n%s", path, rendered)
	}
	return rendered
}

// Guards against hosts of this version that do not start with the settings of an older
// one, as in an upgrade that replaces the program before its files.
func TestUpgradeStartsWithOlderTemplates(t *testing.T) {
	for _, version := range versions {
		for _, withBandwidth := range []bool{true, false} {
			text := renderTemplate(t, filepath.Join("testdata/versions", version+".yaml"), withBandwidth)
			s, err := Load(Source{File: writeSettings(t, text)})
			if err != nil {
				t.Errorf("%s: %v", version, err)
				continue
			}
			is.New(t).Equal(s.Balancing, defaults().Balancing) // no version's template leaves a method out
		}
	}
}

// Guards against hosts of an older version that do not start with the current template,
// as in an upgrade that replaces the files first, or in a return to the older version.
func TestUpgradeStartsOlderVersions(t *testing.T) {
	for _, version := range versions {
		known := knownKeys(t, version)
		for _, key := range keysOf(t, renderTemplate(t, deployTemplate, version != oldestVersion)) {
			if !slices.Contains(known, key) {
				t.Errorf("%s does not know the key %s", version, key)
			}
		}
	}
}

func knownKeys(t *testing.T, version string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/versions", version+".keys"))
	is.New(t).NoErr(err)
	return strings.Fields(string(text))
}

// keysOf returns the keys of a settings file, joined by dots.
func keysOf(t *testing.T, text string) []string {
	t.Helper()
	var doc yaml.Node
	is.New(t).NoErr(yaml.Unmarshal([]byte(text), &doc))
	return mappingKeys("", doc.Content[0])
}

func mappingKeys(prefix string, node *yaml.Node) []string {
	var keys []string
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := prefix + node.Content[i].Value
		if value := node.Content[i+1]; value.Kind == yaml.MappingNode {
			keys = append(keys, mappingKeys(name+".", value)...)
			continue
		}
		keys = append(keys, name)
	}
	return keys
}
