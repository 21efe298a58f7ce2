import { checkHistory, type HistoryRecord, parseHistory } from "@ibislanding/proofs";

const at = (atMs: number, process = "p") => ({ atMs, process });

const chat = (expected: string, end: "ok" | "fail", text: string, mustSucceed = true): readonly HistoryRecord[] => [
    { ...at(1), type: "invoke", operation: "chat", id: "c1", expected, mustSucceed },
    end === "ok"
        ? { ...at(2), type: "ok", operation: "chat", id: "c1", text }
        : { ...at(2), type: "fail", operation: "chat", id: "c1", code: "overloaded", text },
];

const action = (id: string, end: "ok" | "fail" | "info", answer = "a"): readonly HistoryRecord[] => [
    { ...at(1), type: "invoke", operation: "action", id, service: "payments", key: "k1" },
    end === "ok"
        ? { ...at(2), type: "ok", operation: "action", id, answer }
        : { ...at(2), type: end, operation: "action", id, code: "x" },
];

const effects = (count: number): HistoryRecord => ({
    ...at(9),
    type: "observe",
    subject: "effects",
    service: "payments",
    key: "k1",
    count,
});

const apply = (id: string, invokedAtMs: number, acceptedAtMs: number, revision: number): readonly HistoryRecord[] => [
    { ...at(invokedAtMs, id), type: "invoke", operation: "apply", id, resource: "r" },
    { ...at(acceptedAtMs, id), type: "ok", operation: "apply", id, revision },
];

const revisionObserved = (atMs: number, revision: number, target = "entry-1"): HistoryRecord => ({
    ...at(atMs),
    type: "observe",
    subject: "revision",
    target,
    revision,
});

const check = (records: readonly HistoryRecord[]) => checkHistory(records, { inForceMs: 9_000, leavingMs: 3_000 });

const validHistories: readonly [string, readonly HistoryRecord[]][] = [
    ["a complete answer", chat("abc", "ok", "abc")],
    ["an answer lost under unannounced faults", chat("abc", "fail", "a", false)],
    ["an action that ran once and was retried", [...action("a1", "info"), ...action("a2", "ok"), effects(1)]],
    ["a refused action that ran on its retry", [...action("a1", "fail"), ...action("a2", "ok"), effects(1)]],
    ["an unknown outcome without effect", [...action("a1", "info"), effects(0)]],
    ["concurrent operators", [...apply("x", 1, 10, 2), ...apply("y", 2, 9, 1), revisionObserved(11, 2)]],
    ["a revision in force in time", [...apply("x", 1, 10, 1), revisionObserved(9_000, 0), revisionObserved(9_011, 1)]],
    ["a request offered within the bound", [
        { ...at(9), type: "observe", subject: "last-offer", upstreamId: "e1", afterLeavingMs: 2_999 },
    ]],
    ["a request accepted within the bound", [
        { ...at(0), type: "fault", kind: "reclaim", target: "e1" },
        { ...at(2_999), type: "observe", subject: "accepted", upstreamId: "e1" },
    ]],
];

const invalidHistories: readonly [string, readonly HistoryRecord[]][] = [
    ["another request's answer", chat("abc", "ok", "xyz")],
    ["a duplicated token", chat("abc", "ok", "aabc")],
    ["a truncated answer sent as complete", chat("abc", "ok", "ab")],
    ["an answer lost under announced faults", chat("abc", "fail", "ab")],
    ["a corrupted partial answer", chat("abc", "fail", "ac", false)],
    ["an answer that never came", chat("abc", "ok", "abc").slice(0, 1)],
    ["an action that ran twice", [...action("a1", "ok"), effects(2)]],
    ["two answers for one key", [...action("a1", "ok", "a"), ...action("a2", "ok", "b"), effects(1)]],
    ["an answer without effect", [...action("a1", "ok"), effects(0)]],
    ["an action reported as not run that had an effect", [
        ...action("a1", "fail"),
        ...action("a2", "fail"),
        effects(1),
    ]],
    ["revisions that contradict real-time order", [...apply("x", 1, 2, 5), ...apply("y", 3, 4, 4)]],
    ["one revision accepted twice", [...apply("x", 1, 10, 5), ...apply("y", 2, 9, 5)]],
    ["a revision that reverts", [revisionObserved(1, 3), revisionObserved(2, 2)]],
    ["a revision that is not in force within the bound", [...apply("x", 1, 10, 1), revisionObserved(9_011, 0)]],
    ["a request accepted after the bound", [
        { ...at(0), type: "fault", kind: "reclaim", target: "e1" },
        { ...at(3_001), type: "observe", subject: "accepted", upstreamId: "e1" },
    ]],
    ["a request offered after the bound", [
        { ...at(9), type: "observe", subject: "last-offer", upstreamId: "e1", afterLeavingMs: 3_001 },
    ]],
];

describe("checkHistory", () => {
    it.each(validHistories)("accepts %s", (_title, records) => expect(check(records)).toEqual([]));
    it.each(invalidHistories)("reports %s", (_title, records) => expect(check(records)).not.toEqual([]));

    it("parses written records and rejects malformed lines", () => {
        const text = chat("a", "ok", "a").map(record => JSON.stringify(record)).join("\n");
        expect(parseHistory(text).unwrap()).toHaveLength(2);
        expect(parseHistory(`${text}\nnot json`).err).toBe(true);
    });
});
