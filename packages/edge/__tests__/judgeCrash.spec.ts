// Guards against a host that is cut off, or whose event loop is delayed so much that it has not noticed that, and that takes its
// own losses for crashes of upstreams: it would have sound requests quarantined at all hosts.
import { judgeCrash } from "../src/judgeCrash";

type Verdict = "reached" | "open" | "cut-off" | "all-down";

const judge = (
    { verdicts, reaches, hasOthers = true, isCutOff = true }: {
        /** State of the links before and after the delay. */
        readonly verdicts: readonly [Verdict, Verdict];
        /** Results of the attempts to reach another upstream. */
        readonly reaches: readonly boolean[];
        readonly hasOthers?: boolean;
        readonly isCutOff?: boolean;
    },
): Promise<boolean> => {
    let [verdict] = verdicts;
    const results = [...reaches];
    return judgeCrash({
        classify: () => verdict,
        confirmReach: async () => results.shift() ?? false,
        hasOthers: () => hasOthers,
        isCutOff: () => isCutOff,
        sleep: async () => {
            verdict = verdicts[1];
        },
    });
};

test.each(
    [
        ["another upstream is reached", { verdicts: ["reached", "reached"], reaches: [true] }, true],
        [
            "none is reached and no check has counted",
            { verdicts: ["reached", "reached"], reaches: [false, false] },
            false,
        ],
        ["one is reached after a delay", { verdicts: ["reached", "reached"], reaches: [false, true] }, true],
        ["the cut is noticed after a delay", { verdicts: ["reached", "cut-off"], reaches: [false] }, false],
        ["there is no other upstream", { verdicts: ["reached", "reached"], reaches: [false], hasOthers: false }, true],
        ["no host reaches an upstream", { verdicts: ["open", "all-down"], reaches: [] }, true],
        ["the host is still cut off", { verdicts: ["open", "open"], reaches: [] }, false],
        ["no host has reached one so far", { verdicts: ["open", "open"], reaches: [], isCutOff: false }, true],
    ] as const,
)("when %s, the crash counts: %j", async (_, witness, counts) => {
    expect(await judge(witness)).toBe(counts);
});
