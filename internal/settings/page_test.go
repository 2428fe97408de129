package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The operators' page must list exactly the settings of Keys with their flags,
// environment variables, defaults and usage.
func TestPageListsEverySetting(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	is.Equal(rows, len(Keys())) // no row without a setting
	for _, k := range Keys() {
		defaultText := k.Default
		if k.Required {
			defaultText = "required"
		}
		row := fmt.Sprintf("| `%s` | `--%s` | %s | %s |", k.Env(), k.Flag(), defaultText, k.Usage)
		if !strings.Contains(string(text), row) {
			t.Errorf("%s: the page has no row %s", k.Name, row)
		}
	}
}
