package settings

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Missing returns the paths, such as settings.bounds.max-attempts, of the keys that a configuration file lacks
// and an earlier version of it had. A file that is truncated or only partly written can still be JSON, and each
// setting that it lacks would silently be 0. All objects in a list have one schema: each must have the keys
// that all objects of the earlier list had. exempt holds paths at and below which anything may change.
//
// The paths are sorted. An error means that one of the files is not JSON.
func Missing(earlier, later []byte, exempt ...string) ([]string, error) {
	var before, after any
	if err := json.Unmarshal(earlier, &before); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(later, &after); err != nil {
		return nil, err
	}
	var paths []string
	appendMissing("", before, after, exempt, &paths)
	slices.Sort(paths)
	return paths, nil
}

// appendMissing appends what the value at a path lacks.
func appendMissing(path string, before, after any, exempt []string, paths *[]string) {
	switch before := before.(type) {
	case map[string]any:
		after, ok := after.(map[string]any)
		if !ok {
			*paths = append(*paths, path+" as an object")
			return
		}
		for key, value := range before {
			keyPath := key
			if path != "" {
				keyPath = path + "." + key
			}
			if slices.Contains(exempt, keyPath) {
				continue
			}
			if _, ok := after[key]; !ok {
				*paths = append(*paths, keyPath)
				continue
			}
			appendMissing(keyPath, value, after[key], exempt, paths)
		}
	case []any:
		after, ok := after.([]any)
		if !ok {
			*paths = append(*paths, path+" as a list")
			return
		}
		common := commonKeys(before)
		for i, element := range after {
			object, _ := element.(map[string]any)
			for _, key := range common {
				if _, ok := object[key]; !ok {
					*paths = append(*paths, fmt.Sprintf("%s[%d].%s", path, i, key))
				}
			}
		}
	}
}

// commonKeys returns the keys that all objects of a list have; none if the list holds anything but objects.
func commonKeys(list []any) (keys []string) {
	for i, element := range list {
		object, _ := element.(map[string]any)
		if i == 0 {
			for key := range object {
				keys = append(keys, key)
			}
		}
		keys = slices.DeleteFunc(keys, func(key string) bool { _, ok := object[key]; return !ok })
	}
	return keys
}
