package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Every field of Settings is listed in docs/SETTINGS.md, so that an operator can find it there.
func TestDocsListEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	var check func(prefix string, kind reflect.Type)
	check = func(prefix string, kind reflect.Type) {
		for i := range kind.NumField() {
			field := kind.Field(i)
			path := prefix + strings.Split(field.Tag.Get("json"), ",")[0]
			if field.Type.Kind() == reflect.Struct {
				check(path+".", field.Type)
				continue
			}
			if !strings.Contains(string(page), "| `"+path+"` |") {
				t.Errorf("docs/SETTINGS.md does not list %s", path)
			}
		}
	}
	check("", reflect.TypeFor[Settings]())
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/settings.json")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), 2)
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			_, err := Load(file)
			is.New(t).NoErr(err)
		})
	}
}
