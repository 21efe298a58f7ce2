/** Groups items by a key, in the order of their first appearance; Node.js 20 has no `Map.groupBy`. */
export const groupBy = <Item, Key>(
    items: readonly Item[],
    keyOf: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> =>
    items.reduce((groups, item) => {
        const key = keyOf(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        }
        else {
            group.push(item);
        }
        return groups;
    }, new Map<Key, Item[]>());
