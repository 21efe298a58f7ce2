import {
    createFailure,
    createFakeClock,
    createHasher,
    createRandom,
    ErrorCode,
    type Failure,
    type Hasher,
    type RequestId,
    type UpstreamId,
} from "@ibislanding/core";
import {
    type AnswerEvent,
    type AnswerPorts,
    type AnswerStrategy,
    createAnswerStream,
    createTokenJournal,
    defaultAnswerStrategy,
    filterResumed,
    type SelectedUpstream,
    type StreamPosition,
} from "@ibislanding/streams";
import type { EngineClient, EngineEvent, GenerateRequest } from "@ibislanding/upstreams";
import fc from "fast-check";
import { Err, Ok, type Result } from "ts-results";

const ANSWER = Array.from({ length: 12 }, (_, index) => `t${index} `);
const REQUEST_ID = "r1" as RequestId;

/** Scripted behaviour of an engine in one attempt: the index of the token before which it fails, and the fault. */
interface FaultScript {
    readonly fault:
        | "none"
        | "refuse"
        | "refuse-leaving"
        | "unreachable"
        | "silent"
        | "gap"
        | "wrong-total"
        | "leaving"
        | "duplicate";
    readonly after: number;
}

type Outcome = Result<EngineEvent, Failure>;

const token = (index: number): Outcome =>
    Ok({ type: "token", requestId: REQUEST_ID, index, text: ANSWER[index] ?? "" });

const faultEvents: Readonly<Record<FaultScript["fault"], (from: number) => readonly Outcome[]>> = {
    none: () => [],
    refuse: () => [],
    "refuse-leaving": () => [],
    unreachable: () => [],
    silent: () => [Err(createFailure(ErrorCode.UpstreamSilent))],
    gap: from => [token(from + 2)],
    "wrong-total": from => [Ok({ type: "finished", requestId: REQUEST_ID, reason: "stop", totalTokens: from + 1 })],
    leaving: () => [Err(createFailure(ErrorCode.UpstreamLeaving))],
    duplicate: from => Array.from({ length: from }, (_, index) => token(index)),
};

const openFailures: Partial<Record<FaultScript["fault"], ErrorCode>> = {
    refuse: ErrorCode.UpstreamRefused,
    "refuse-leaving": ErrorCode.UpstreamLeaving,
    unreachable: ErrorCode.UpstreamUnreachable,
};

const playScript = async function*(script: FaultScript, first: number): AsyncGenerator<Outcome> {
    const end = script.fault === "none" ? ANSWER.length : Math.min(ANSWER.length, Math.max(first, script.after));
    yield Ok({ type: "started", requestId: REQUEST_ID, promptTokens: 4, cachedTokens: 0 });
    yield* Array.from({ length: Math.max(0, end - first) }, (_, offset) => token(first + offset));
    const events = faultEvents[script.fault](end);
    yield* events;
    if (script.fault === "none" || script.fault === "duplicate") {
        yield* Array.from({ length: ANSWER.length - end }, (_, offset) => token(end + offset));
        yield Ok({ type: "finished", requestId: REQUEST_ID, reason: "stop", totalTokens: ANSWER.length });
    }
};

const createFakeEngine = (scripts: FaultScript[]): EngineClient => {
    const open = async (first: number) => {
        const script = scripts.shift() ?? { fault: "none", after: 0 };
        const refusal = openFailures[script.fault];
        return refusal === undefined ? Ok(playScript(script, first)) : Err(createFailure(refusal));
    };
    const unused = async () => Err(createFailure(ErrorCode.UpstreamUnreachable));
    return {
        generate: ({ deliveredTokens }: GenerateRequest) => open(deliveredTokens.length),
        attach: (_requestId, afterTokens) => open(afterTokens),
        cancel: async () => Ok(undefined),
        load: unused,
        cacheEvents: unused,
        exportCache: unused,
        importCache: unused,
        order: unused,
    };
};

const run = async (
    hasher: Hasher,
    scripts: readonly FaultScript[],
    strategy: AnswerStrategy = defaultAnswerStrategy,
    resumeFrom?: StreamPosition,
    permitRetry: AnswerPorts["permitRetry"] = () => Ok(undefined),
    disconnectsAfterTokens = Infinity,
): Promise<
    {
        texts: string;
        failure: Failure | undefined;
        finished: boolean;
        released: number;
        selected: number;
        outcomes: readonly string[];
    }
> => {
    const clock = createFakeClock();
    const pending = [...scripts];
    const counts = { released: 0, selected: 0 };
    const outcomes: string[] = [];
    const caller = new AbortController();
    const toUpstream = (upstreamId: UpstreamId): SelectedUpstream => {
        counts.selected++;
        return {
            upstreamId,
            url: "http://127.0.0.1:1",
            client: createFakeEngine(pending),
            expectedCachedTokens: 0,
            prefillTokensPerSecond: 1_000,
            pricePerByteFrom: () => 0,
            pricePerSecond: 0,
            recordPromptTokens: () => undefined,
            release: outcome => {
                counts.released++;
                outcomes.push(outcome);
            },
        };
    };
    const ports: AnswerPorts = {
        clock,
        random: createRandom(1),
        select: excluded => {
            const free = (["a", "b", "c"] as UpstreamId[]).find(id => !excluded.has(id));
            return free === undefined ? Err(createFailure(ErrorCode.Overloaded)) : Ok(toUpstream(free));
        },
        find: toUpstream,
        watchLeaving: () => () => undefined,
        permitRetry,
        recordMove: () => undefined,
    };
    const journal = createTokenJournal(hasher);
    const events = createAnswerStream(
        {
            request: {
                requestId: REQUEST_ID,
                model: "m",
                messages: [],
                maximumTokens: undefined,
                temperature: undefined,
                seed: 1,
                priority: 1,
                detachedGraceMs: 0,
            },
            promptTokens: 4,
            journal,
            resumeFrom,
            deadlineMs: 60_000,
            signal: caller.signal,
        },
        ports,
        strategy,
    );
    const collected: Result<AnswerEvent, Failure>[] = [];
    const collect = async (): Promise<void> => {
        for await (const event of resumeFrom === undefined ? events : filterResumed(events, journal, resumeFrom)) {
            collected.push(event);
            if (collected.length > disconnectsAfterTokens) {
                caller.abort();
            }
        }
    };
    let collecting = true;
    void collect().finally(() => {
        collecting = false;
    });
    while (collecting) {
        await clock.advance(1_000);
    }
    const values = collected.flatMap(event => (event.ok ? [event.val] : []));
    return {
        texts: values.map(event => (event.type === "token" ? event.text : "")).join(""),
        failure: collected.flatMap(event => (event.err ? [event.val] : []))[0],
        finished: values.some(event => event.type === "finished"),
        ...counts,
        outcomes,
    };
};

const scriptsArbitrary = fc.array(
    fc.record<FaultScript>({
        fault: fc.constantFrom("none", "refuse", "unreachable", "silent", "gap", "wrong-total", "leaving", "duplicate"),
        after: fc.nat(ANSWER.length),
    }),
    { maxLength: 8 },
);

const isComplete = ({ texts, finished }: { texts: string; finished: boolean; }): boolean =>
    finished && texts === ANSWER.join("");

describe("createAnswerStream", () => {
    let hasher: Hasher;
    beforeAll(async () => {
        hasher = await createHasher();
    });

    it("delivers every token once and in order through any sequence of faults", async () => {
        await fc.assert(
            fc.asyncProperty(scriptsArbitrary, async scripts => {
                const result = await run(hasher, scripts);
                return isComplete(result) && result.released === result.selected;
            }),
            { seed: 21, numRuns: 150 },
        );
    });

    it.each([
        ["recovery", { ...defaultAnswerStrategy, recovers: false }],
        ["duplicate detection", { ...defaultAnswerStrategy, dropsDuplicates: false }],
    ])("does not deliver every token once without %s", async (_title, strategy) => {
        const property = fc.asyncProperty(
            scriptsArbitrary,
            async scripts => isComplete(await run(hasher, scripts, strategy)),
        );
        expect((await fc.check(property, { seed: 21, numRuns: 150 })).failed).toBe(true);
    });

    it.each<[FaultScript["fault"], boolean]>([["refuse-leaving", true], ["refuse", false]])(
        "continues after %s with an exhausted retry budget: %s",
        async (fault, expected) => {
            const noBudget = (): Result<void, Failure> => Err(createFailure(ErrorCode.Overloaded));
            const result = await run(hasher, [{ fault, after: 0 }], defaultAnswerStrategy, undefined, noBudget);
            expect(result.finished).toBe(expected);
        },
    );

    it("does not count a caller's disconnect as a failure of the upstream", async () => {
        const permit = (): Result<void, Failure> => Ok(undefined);
        const silent: FaultScript = { fault: "silent", after: 3 };
        const result = await run(hasher, [silent], defaultAnswerStrategy, undefined, permit, 3);
        expect(result.outcomes).toEqual(["cancelled"]);
        expect((await run(hasher, [silent, silent])).outcomes.slice(0, 2)).toEqual(["failed", "failed"]);
    });

    it("resumes after the tokens that the caller already has", async () => {
        const journal = createTokenJournal(hasher);
        ANSWER.slice(0, 5).forEach((text, index) => journal.append(index, text));
        const position = { requestId: REQUEST_ID, upstreamId: "a" as UpstreamId, tokens: 5, digest: journal.digest() };
        const result = await run(hasher, [{ fault: "silent", after: 3 }], defaultAnswerStrategy, position);
        expect(result.texts).toBe(ANSWER.slice(5).join(""));
        expect(result.finished).toBe(true);
    });

    it("fails a resumed stream whose tokens differ from those delivered", async () => {
        const position = { requestId: REQUEST_ID, upstreamId: "a" as UpstreamId, tokens: 5, digest: "0000" };
        const result = await run(hasher, [], defaultAnswerStrategy, position);
        expect(result.failure?.code).toBe(ErrorCode.StreamDiverged);
        expect(result.released).toBe(result.selected);
        expect(result.texts).toBe("");
    });
});
