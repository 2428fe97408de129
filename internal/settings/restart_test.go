package settings

import (
	"slices"
	"testing"
)

// reloadable lists the settings that SIGHUP applies.
var reloadable = []string{"log_level", "limits.control_budget", "limits.control_burst", "limits.leave"}

// If one setting changes, NeedRestart must return exactly its name, or nothing if
// it is reloadable.
func TestEverySettingIsFixedOrReloadable(t *testing.T) {
	values := map[string]string{
		"host": "b9", "zone": "z9", "platform": "http://127.0.0.9:1", "plaintext": "true", "log_level": "error",
		"fabric.sources": "10.0.0.0/8", "peers.sources": "10.0.0.0/8", "limits.leave": "7s", "mtu": "9000",
		"limits.read_buffer": "70000", "limits.max_message": "2000", "tls.cert": "c", "tls.key": "k", "tls.ca": "a", "steering": "token",
		"balancing.allotments": "false", "balancing.cross_zone": "false", "balancing.admission": "false", "balancing.expected_work": "false",
	}
	for _, k := range Keys() {
		text, ok := values[k.Name]
		if !ok {
			text = "127.0.0.9:9"
			if k.Default != "" && k.Default != "none" {
				text = "5000"
			}
			if k.Name == "workers" {
				text = "9"
			}
		}
		changed := defaults()
		if err := k.set(&changed, []string{text}); err != nil {
			t.Errorf("%s: %v", k.Name, err)
			continue
		}
		keys := NeedRestart(defaults(), changed)
		if slices.Contains(reloadable, k.Name) {
			if len(keys) != 0 {
				t.Errorf("%s is reloadable and needs a restart: %v", k.Name, keys)
			}
			continue
		}
		if !slices.Equal(keys, []string{k.Name}) {
			t.Errorf("a change of %s needs a restart for %v", k.Name, keys)
		}
	}
}
