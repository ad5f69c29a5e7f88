// Package strictyaml decodes YAML into typed structs and rejects whatever the types
// don't define: unknown fields, values of another type, duplicate fields and a
// second document. Each problem has its line and the path of its field, as far as
// they are known; the YAML library gives the line of most problems but no path. The
// operators' document and the settings files of the roles are decoded with it.
package strictyaml
