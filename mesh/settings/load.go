package settings

import (
	"errors"
	"os"

	"sassafrasnotch.example/mesh/jsonc"
)

// Load reads a file of JSON with comments over the defaults. The error of a
// file that is not valid is a *jsonc.Error with every problem.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, jsonc.WithFile(path, err)
	}
	return s, nil
}

// Parse reads JSON with comments over the defaults. The error is a *jsonc.Error
// with every problem.
func Parse(data []byte) (Settings, error) {
	document, err := jsonc.Parse(data)
	if err != nil {
		return Settings{}, err
	}
	s := Default()
	problems, err := decodeProblems(document.Decode(&s))
	if err != nil {
		return Settings{}, err
	}
	broken := pathsOf(problems)
	for _, v := range violations(&s) {
		if !broken[v.path] {
			problems = append(problems, document.Problem(v.path, v.message))
		}
	}
	if len(problems) > 0 {
		jsonc.SortByLine(problems)
		return Settings{}, &jsonc.Error{Problems: problems}
	}
	return s, nil
}

// decodeProblems separates the problems of a document from other errors.
func decodeProblems(err error) ([]jsonc.Problem, error) {
	var failed *jsonc.Error
	if errors.As(err, &failed) {
		return failed.Problems, nil
	}
	return nil, err
}

// pathsOf returns the fields whose values were not stored, which are not worth
// a second problem.
func pathsOf(problems []jsonc.Problem) map[string]bool {
	paths := make(map[string]bool, len(problems))
	for _, p := range problems {
		paths[p.Path] = true
	}
	return paths
}
