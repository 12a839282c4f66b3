package standin

import (
	"slices"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// modelSet holds the versions that an engine has loaded or is loading, and its
// role.
type modelSet struct {
	versions []port.LoadedVersion
	loading  []port.LoadedVersion
	role     string
}

func newModelSet(versions []port.LoadedVersion) *modelSet {
	return &modelSet{versions: slices.Clone(versions)}
}

func (m *modelSet) find(model ident.Model, version ident.Version) int {
	return slices.IndexFunc(m.versions, func(v port.LoadedVersion) bool {
		return v.Model == model && v.Version == version
	})
}

// has reports whether a version is loaded with an adapter; an empty adapter
// means the base model.
func (m *modelSet) has(model ident.Model, version ident.Version, adapter ident.Adapter) bool {
	i := m.find(model, version)
	return i >= 0 && (adapter == "" || slices.Contains(m.versions[i].Adapters, adapter))
}

// loaded returns a deep copy of the loaded versions.
func (m *modelSet) loaded() []port.LoadedVersion {
	versions := slices.Clone(m.versions)
	for i := range versions {
		versions[i].Adapters = slices.Clone(versions[i].Adapters)
	}
	return versions
}

func (m *modelSet) isLoading(model ident.Model, version ident.Version) bool {
	return slices.ContainsFunc(m.loading, func(v port.LoadedVersion) bool {
		return v.Model == model && v.Version == version
	})
}

// finishLoading moves a version from loading to loaded.
func (m *modelSet) finishLoading(model ident.Model, version ident.Version) {
	m.loading = slices.DeleteFunc(m.loading, func(v port.LoadedVersion) bool {
		return v.Model == model && v.Version == version
	})
	if m.find(model, version) < 0 {
		m.versions = append(m.versions, port.LoadedVersion{Model: model, Version: version})
	}
}

func (m *modelSet) unload(model ident.Model, version ident.Version) {
	if i := m.find(model, version); i >= 0 {
		m.versions = slices.Delete(m.versions, i, i+1)
	}
}

func (m *modelSet) addAdapter(model ident.Model, version ident.Version, adapter ident.Adapter) {
	i := m.find(model, version)
	if i >= 0 && !slices.Contains(m.versions[i].Adapters, adapter) {
		m.versions[i].Adapters = append(slices.Clone(m.versions[i].Adapters), adapter)
	}
}
