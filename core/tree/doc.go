// Package tree holds the operators' settings: a tree in JSON whose values are
// inherited, its checks, its edits, and an indexed form for fast lookups.
//
// The tree has these branches:
//
//	site                          what holds everywhere
//	classes.NAME                  a request class, for all teams
//	teams.NAME                    a team
//	teams.NAME.classes.NAME       a class as this one team has it
//	models.NAME                   a model; nothing is inherited
//	services.NAME                 a plain service; nothing is inherited
//
// A value is looked up in the team's class, then the site's class, then the
// team, then the site; where none sets it, the default counts. Durations are
// strings such as "370ms". Unknown keys are errors.
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
// A Tree is never changed once it is in a Snapshot: Apply returns a new one that
// shares the branches that the edits leave alone.
package tree
