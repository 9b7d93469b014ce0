package tree_test

import (
	"fmt"

	"gentianwell/core/tree"
)

func Example() {
	settings, err := tree.Parse([]byte(`{
		"site": {"deadline": "90s"},
		"classes": {"plot": {"tier": 0, "maxWait": "5s"}},
		"teams": {"judges": {"keyHashes": ["` + tree.HashKey("secret") + `"]}}
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	snap := tree.NewSnapshot(tree.Document{Tree: settings})
	team, _ := snap.TeamByKey("secret")
	policy, err := snap.Effective(team, "plot")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(team, policy.Tier, policy.MaxWait, policy.Deadline)
	_, err = settings.Apply(tree.Edits{{Path: "classes.plot.maxwait", Value: []byte(`"1s"`)}})
	fmt.Println(err)
	// Output:
	// judges 0 5s 1m30s
	// classes.plot.maxwait: unknown key "maxwait"; nearest known key: "maxWait"
}
