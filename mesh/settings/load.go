package settings

import (
	"errors"
	"os"
	"regexp"

	"sassafrasnotch.example/mesh/jsonc"
)

// Load reads the settings from a file of JSON with comments; fields that the file omits have their
// defaults. If the content of the file is invalid, the error is a *jsonc.Error with every problem.
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

// unrendered matches a placeholder of a template that the platform did not render, because the deployment has
// no such value. It counts as empty, which settings without a default report.
var unrendered = regexp.MustCompile(`{{[A-Za-z0-9.]+}}`)

// Parse reads the settings from JSON with comments; fields that data omits have their defaults. The
// error is a *jsonc.Error with every problem.
func Parse(data []byte) (Settings, error) {
	document, err := jsonc.Parse(unrendered.ReplaceAll(data, nil))
	if err != nil {
		return Settings{}, err
	}
	s := Default()
	problems, err := decodeProblems(document.Decode(&s))
	if err != nil {
		return Settings{}, err
	}
	reported := reportedPaths(problems)
	for _, v := range violations(&s) {
		if !reported[v.path] {
			problems = append(problems, document.Problem(v.path, v.message))
		}
	}
	if len(problems) > 0 {
		jsonc.SortByLine(problems)
		return Settings{}, &jsonc.Error{Problems: problems}
	}
	return s, nil
}

// decodeProblems returns the problems of a *jsonc.Error, or any other error as it is.
func decodeProblems(err error) ([]jsonc.Problem, error) {
	var parseError *jsonc.Error
	if errors.As(err, &parseError) {
		return parseError.Problems, nil
	}
	return nil, err
}

// reportedPaths returns the paths of the fields that have a problem. Their values were not stored,
// so that validating them would report a second problem for the same fault.
func reportedPaths(problems []jsonc.Problem) map[string]bool {
	paths := make(map[string]bool, len(problems))
	for _, p := range problems {
		paths[p.Path] = true
	}
	return paths
}
