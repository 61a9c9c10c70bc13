package settings

import (
	"reflect"
	"strings"
)

// ChangedFields returns the paths of the fields in which two settings differ, in the order of the
// fields. It returns no values, as some are secret.
func ChangedFields(a, b *Settings) []string {
	return changedFields("", reflect.ValueOf(*a), reflect.ValueOf(*b))
}

// changedFields returns the paths of the fields in which two structs of one type differ, each with
// the prefix.
func changedFields(prefix string, a, b reflect.Value) []string {
	var paths []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		x, y := a.Field(i), b.Field(i)
		if x.Kind() == reflect.Struct {
			paths = append(paths, changedFields(prefix+name+".", x, y)...)
			continue
		}
		if !reflect.DeepEqual(x.Interface(), y.Interface()) {
			paths = append(paths, prefix+name)
		}
	}
	return paths
}
