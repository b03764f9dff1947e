package configurer

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `{"entry":"e","zone":"z","service":"s","httpAddress":"127.0.0.1:1","peerAddress":"127.0.0.1:2",
"platform":{"tableUrl":"http://127.0.0.1:3","objectUrl":"http://127.0.0.1:3","listUrl":"http://127.0.0.1:3/vms"}}`

func TestDecodeFillsInDefaults(t *testing.T) {
	s, err := Decode([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.CallerAuth != CallerAuthTrusted || s.DrainMillis != defaultDrainMillis || s.Platform.TimeoutMillis != defaultTimeoutMillis {
		t.Fatalf("got %+v, want the default values", s)
	}
}

func TestDecodeErrorNamesKeyValueAndAcceptedValues(t *testing.T) {
	for _, test := range []struct {
		name, old, new, want string
	}{
		{"an unknown key", `"entry":"e"`, `"entry":"e","colour":"red"`, `unknown field "colour"`},
		{"a host name", `"http://127.0.0.1:3/vms"`, `"http://list.example/vms"`, `platform.listUrl: "http://list.example/vms", accepted is an IP number`},
		{"an address without a port", `"127.0.0.1:1"`, `"127.0.0.1"`, `httpAddress: "127.0.0.1", accepted is an IP number and a port`},
		{"a wrong type", `"entry":"e"`, `"entry":7`, "entry: a number, accepted is a value of type string"},
		{"out of range", `"entry":"e"`, `"entry":"e","drainMillis":60001`, "drainMillis: 60001, accepted are 1 to 60000"},
		{"too much memory", `"entry":"e"`, `"entry":"e","memoryMb":1048577`, "memoryMb: 1048577, accepted are 0 to 1048576"},
		{"a negative number of files", `"entry":"e"`, `"entry":"e","maxOpenFiles":-1`, "maxOpenFiles: -1, accepted are 0 to"},
		{"keys without an operator key", `"entry":"e"`, `"entry":"e","callers":"keys"`, "operatorKeySha256"},
		{"text after the end", `"s"`, `"s"`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validSettings, test.old, test.new, 1)
			if test.want == "" {
				text += "x"
				test.want = "text after"
			}
			_, err := Decode([]byte(text))
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want %q", err, test.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err == nil && s.Validate() != nil {
			t.Fatal("Decode accepted settings that Validate rejects")
		}
	})
}
