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
    ["a whole answer", chat("abc", "ok", "abc")],
    ["a lost answer under faults that were not announced", chat("abc", "fail", "a", false)],
    ["an action that ran once and was retried", [...action("a1", "info"), ...action("a2", "ok"), effects(1)]],
    ["a refused action that ran on its retry", [...action("a1", "fail"), ...action("a2", "ok"), effects(1)]],
    ["an unknown outcome without effect", [...action("a1", "info"), effects(0)]],
    ["concurrent operators", [...apply("x", 1, 10, 2), ...apply("y", 2, 9, 1), revisionObserved(11, 2)]],
    ["a revision in force in time", [...apply("x", 1, 10, 1), revisionObserved(9_000, 0), revisionObserved(9_011, 1)]],
    ["work offered within the bound", [
        { ...at(9), type: "observe", subject: "last-offer", upstreamId: "e1", afterLeavingMs: 2_999 },
    ]],
    ["work taken within the bound", [
        { ...at(0), type: "fault", kind: "reclaim", target: "e1" },
        { ...at(2_999), type: "observe", subject: "accepted", upstreamId: "e1" },
    ]],
];

const invalidHistories: readonly [string, readonly HistoryRecord[]][] = [
    ["another request's answer", chat("abc", "ok", "xyz")],
    ["a token twice", chat("abc", "ok", "aabc")],
    ["a truncated answer sent as whole", chat("abc", "ok", "ab")],
    ["an answer lost under announced faults", chat("abc", "fail", "ab")],
    ["a broken part of an answer", chat("abc", "fail", "ac", false)],
    ["an answer that never came", chat("abc", "ok", "abc").slice(0, 1)],
    ["a doubled action", [...action("a1", "ok"), effects(2)]],
    ["two answers for one key", [...action("a1", "ok", "a"), ...action("a2", "ok", "b"), effects(1)]],
    ["an answer without effect", [...action("a1", "ok"), effects(0)]],
    ["not run, with an effect", [...action("a1", "fail"), ...action("a2", "fail"), effects(1)]],
    ["revisions against real-time order", [...apply("x", 1, 2, 5), ...apply("y", 3, 4, 4)]],
    ["one revision accepted twice", [...apply("x", 1, 10, 5), ...apply("y", 2, 9, 5)]],
    ["a revision that reverts", [revisionObserved(1, 3), revisionObserved(2, 2)]],
    ["a revision in force too late", [...apply("x", 1, 10, 1), revisionObserved(9_011, 0)]],
    ["work taken after the bound", [
        { ...at(0), type: "fault", kind: "reclaim", target: "e1" },
        { ...at(3_001), type: "observe", subject: "accepted", upstreamId: "e1" },
    ]],
    ["work offered after the bound", [
        { ...at(9), type: "observe", subject: "last-offer", upstreamId: "e1", afterLeavingMs: 3_001 },
    ]],
];

describe("checkHistory", () => {
    it.each(validHistories)("accepts %s", (_title, records) => expect(check(records)).toEqual([]));
    it.each(invalidHistories)("reports %s", (_title, records) => expect(check(records)).not.toEqual([]));

    it("reads what was written and refuses other lines", () => {
        const text = chat("a", "ok", "a").map(record => JSON.stringify(record)).join("\n");
        expect(parseHistory(text).unwrap()).toHaveLength(2);
        expect(parseHistory(`${text}\nnot json`).err).toBe(true);
    });
});
