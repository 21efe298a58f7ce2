// Compares the cost of several ways to store and commit claims. Run:
//   npx esbuild packages/ledger/bench/commitWays.ts --bundle --platform=node --main-fields=module,main | node
import { runLoad } from "./runLoad";

const SEED = 42;
const OUTAGE = { fromMs: 10_000, toMs: 20_000 };

const main = async (): Promise<void> => {
    const loads = [20, 100, 300].flatMap(actionsPerSecond =>
        (["per-key", "shard", "preferred", "two-writers"] as const).map(commitMode => ({
            commitMode,
            actionsPerSecond,
            seed: SEED,
        }))
    );
    const shards = [1, 2, 4, 16].map(shardCount =>
        ({ commitMode: "preferred", actionsPerSecond: 100, seed: SEED, limits: { shardCount } }) as const
    );
    const outages = (["per-key", "shard", "preferred"] as const).map(commitMode => ({
        commitMode,
        actionsPerSecond: 20,
        seed: SEED,
        outage: OUTAGE,
    }));
    const rows = [];
    for (const load of [...loads, ...shards, ...outages]) {
        rows.push(await runLoad(load));
    }
    console.table(rows);
};

void main();
