import type { HistoryRecord } from "../history/historyRecord";
import type { Violation } from "./violation";

const NAME = "whole-answers";

type ChatInvocation = Extract<HistoryRecord, { operation: "chat"; type: "invoke"; }>;
type ChatEnd = Extract<HistoryRecord, { operation: "chat"; type: "ok" | "fail" | "info"; }>;

const isInvocation = (record: HistoryRecord): record is ChatInvocation =>
    "operation" in record && record.operation === "chat" && record.type === "invoke";

const isEnd = (record: HistoryRecord): record is ChatEnd =>
    "operation" in record && record.operation === "chat" && record.type !== "invoke";

const findViolation = (start: ChatInvocation, end: ChatEnd | undefined): string | undefined => {
    if (end === undefined) {
        return start.mustSucceed ? "no answer was received" : undefined;
    }
    if (end.type === "ok") {
        return end.text === start.expected ? undefined : "differs from the model's answer";
    }
    if (!start.expected.startsWith(end.text)) {
        return "the partial answer is not a prefix of the model's answer";
    }
    return start.mustSucceed ? `lost with ${end.code}` : undefined;
};

/** Checks that each answer is complete and belongs to its request, and that none was lost under announced faults. */
export const checkAnswers = (history: readonly HistoryRecord[]): readonly Violation[] => {
    const ends = new Map(history.filter(isEnd).map(end => [end.id, end]));
    return history.filter(isInvocation).flatMap(start => {
        const detail = findViolation(start, ends.get(start.id));
        return detail === undefined ? [] : [{ check: NAME, subject: start.id, detail }];
    });
};
