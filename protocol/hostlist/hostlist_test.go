package hostlist

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const listText = `{"hosts":[
 {"name":"entry-1","zone":"north","address":"10.0.0.1","state":"live","relay":"10.0.0.1:6081","control":"10.0.0.1:7000"},
 {"name":"t1","zone":"north","address":"10.0.1.1","state":"leaving","added-later":1}]}`

func TestParse(t *testing.T) {
	is := is.New(t)
	list, err := Parse([]byte(listText))
	is.NoErr(err)
	is.Equal(list.Hosts[1].State, Leaving)
	text, err := list.Marshal()
	is.NoErr(err)
	again, err := Parse(text)
	is.NoErr(err)
	is.Equal(list, again)
}

func TestParseProblems(t *testing.T) {
	tests := []struct{ old, new, reason string }{
		{listText, "{", "not valid JSON"},
		{`"entry-1"`, `""`, "hosts[0]: name: missing"},
		{`"10.0.1.1"`, `""`, "hosts[1]: address: missing"},
		{`"10.0.1.1"`, `"x"`, "not valid JSON"},
		{`"leaving"`, `"gone"`, `hosts[1]: state: "gone"`},
		{`,"control":"10.0.0.1:7000"`, "", "both be set or both be empty"},
		{`10.0.0.1:7000`, "host:7000", "not an IP address and port"},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(strings.Replace(listText, tt.old, tt.new, 1)))
		is := is.New(t)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), tt.reason))
	}
}
