package routing

import "strconv"

// Tenant is one element of tenant_table: a customer whose requests carry one of its keys.
type Tenant struct {
	Name     string
	Keys     []string // no other tenant has one of them; may be empty
	Priority int      // 0 is the highest; goes before that of the route
}

// HasTenants reports whether requests need a key, unless their route is public: the configuration has a tenant_table, which may be
// empty.
func (c *Config) HasTenants() bool { return c.byKey != nil }

// TenantOf returns the tenant that holds a key, nil if none does.
func (c *Config) TenantOf(key string) *Tenant {
	i, ok := c.byKey[key]
	if !ok {
		return nil
	}
	return &c.Tenants[i]
}

// parseTenants parses tenant_table, if there is one.
func (c *Config) parseTenants(document node) {
	if !document.isSet("tenant_table") {
		return
	}
	c.byKey = map[string]int{}
	positions := map[string]int{} // by name
	for n := range document.objects("tenant_table", true) {
		c.addTenant(n, positions)
	}
}

// addTenant parses one element of tenant_table. Positions has the positions of the tenants before it, by name.
func (c *Config) addTenant(n node, positions map[string]int) {
	tenant := Tenant{Name: n.stringField("name", ""), Priority: n.intField("rank", 0, 0), Keys: n.strings("api_keys")}
	if !isFieldValue(tenant.Name) {
		n.fail("name", strconv.Quote(tenant.Name), "name the tenant, in visible ASCII characters")
	}
	if i, duplicate := positions[tenant.Name]; duplicate {
		n.fail("name", strconv.Quote(tenant.Name), "tenant_table.%d has it as well: name each tenant once", i)
	}
	position := len(c.Tenants)
	positions[tenant.Name] = position
	for i, key := range tenant.Keys {
		path := "api_keys." + strconv.Itoa(i)
		if !isFieldValue(key) {
			n.fail(path, strconv.Quote(key), "give a key in visible ASCII characters")
		}
		if other, shared := c.byKey[key]; shared && other != position {
			n.fail(path, "a key of tenant_table."+strconv.Itoa(other)+" too", "give each key to one tenant")
		}
		c.byKey[key] = position
	}
	c.Tenants = append(c.Tenants, tenant)
}

// isFieldValue reports whether a string can be the value of a header field as it is: of visible ASCII characters, at least one.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}
