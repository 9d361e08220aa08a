package settings

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Missing names what a file of the configuration lacks that an earlier one had, as paths such as
// settings.bounds.max-attempts: a file cut short or half written can still be JSON, and each setting that it
// lacks would silently be 0. Objects in a list count as one kind: each must have the keys that all of the earlier
// list's had. What is free names keys under which anything may change.
func Missing(earlier, later []byte, free ...string) ([]string, error) {
	var was, is any
	if err := json.Unmarshal(earlier, &was); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(later, &is); err != nil {
		return nil, err
	}
	var paths []string
	lacks("", was, is, free, &paths)
	slices.Sort(paths)
	return paths, nil
}

func lacks(path string, was, is any, free []string, paths *[]string) {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			*paths = append(*paths, path+" as an object")
			return
		}
		for key, v := range was {
			at := key
			if path != "" {
				at = path + "." + key
			}
			if slices.Contains(free, at) {
				continue
			}
			if _, ok := is[key]; !ok {
				*paths = append(*paths, at)
				continue
			}
			lacks(at, v, is[key], free, paths)
		}
	case []any:
		is, ok := is.([]any)
		if !ok {
			*paths = append(*paths, path+" as a list")
			return
		}
		common := commonKeys(was)
		for i, v := range is {
			o, _ := v.(map[string]any)
			for _, key := range common {
				if _, ok := o[key]; !ok {
					*paths = append(*paths, fmt.Sprintf("%s[%d].%s", path, i, key))
				}
			}
		}
	}
}

// commonKeys are those that all objects of a list have; none if it holds anything else.
func commonKeys(list []any) (keys []string) {
	for i, v := range list {
		o, _ := v.(map[string]any)
		if i == 0 {
			for key := range o {
				keys = append(keys, key)
			}
		}
		keys = slices.DeleteFunc(keys, func(key string) bool { _, ok := o[key]; return !ok })
	}
	return keys
}
