// Guards against the longest generations of a kind that run out of time beside the prompts of others, while the others of their
// kind are served: 66 hosts, 60 engines that read prompts for four fifths of the time, loads up to two seconds old.
import { replayGenerations } from "./support/replayGenerations";

const HEAVY = { hosts: 66, engines: 60, promptLoad: 0.8, durationMs: 9_000 };

test("of the largest tenth of a kind of generation, at least half as many are served as of all", async () => {
    const kinds = await replayGenerations(HEAVY, 1);
    const least = Math.min(...kinds.map(({ served, servedOfLargestTenth }) => servedOfLargestTenth / served));
    expect(least).toBeGreaterThanOrEqual(0.5);
    // The smaller ones do not pay for it.
    kinds.forEach(({ servedOfSmallerHalf }) => expect(servedOfSmallerHalf).toBeGreaterThan(0.95));
}, 300_000);

const figures = process.env["GENERATIONS"];

(figures === undefined ? test.skip : test)("figures by kind", async () => {
    const [promptLoad = HEAVY.promptLoad, ...seeds] = (figures ?? "").split(",").map(Number);
    for (const seed of seeds) {
        const kinds = await replayGenerations({ ...HEAVY, promptLoad }, seed);
        const rows = kinds.map(({ name, ...shares }) =>
            `${name}: ${Object.entries(shares).map(([key, share]) => `${key} ${share.toFixed(3)}`).join(", ")}`
        );
        process.stdout.write(`prompt load ${promptLoad}, seed ${seed}\n${rows.join("\n")}\n`);
    }
}, 3_000_000);
