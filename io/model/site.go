package model

// Site is a deployment's size.
type Site struct {
	Name    string
	Engines int
	VMs     int
	Zones   int
	Teams   int
}

// Sites is a list of sites.
type Sites []Site

// Lindqvist and Association are the sizes of the two deployments.
var (
	Lindqvist   = Site{Name: "lindqvist", Engines: 20, VMs: 9, Zones: 3, Teams: 10}
	Association = Site{Name: "association", Engines: 10, VMs: 9, Zones: 3, Teams: 10}
)
