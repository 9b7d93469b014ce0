// Package tree implements the operators' settings: a JSON tree with inherited
// values, its validation and edits, and an indexed snapshot for fast lookups.
//
// The tree has these branches:
//
//	site                          values for the whole site
//	classes.NAME                  a request class, for all teams
//	teams.NAME                    a team
//	teams.NAME.classes.NAME       a team's overrides for a class
//	models.NAME                   a model; nothing is inherited
//	services.NAME                 a plain HTTP service; nothing is inherited
//
// A value is looked up in the team's class, then the site-wide class, then the
// team, then the site; if none of them sets it, the default applies. Durations
// are strings such as "370ms". Unknown keys are errors.
//
// # Usage
//
//	t, err := tree.Parse(document)
//	if err != nil {
//		return err // a tree.Problems that lists every mistake
//	}
//	snap := tree.NewSnapshot(tree.Document{Version: 7, ChangeID: "c7", Tree: t})
//	team, ok := snap.TeamByKey("the caller's bearer key")
//	policy, err := snap.Effective(team, "plot")
//
// A Tree is never modified once it is in a Snapshot: Apply returns a new Tree
// that shares the unedited branches.
package tree
