import type { HistoryRecord } from "../history/historyRecord";
import { checkActions } from "./checkActions";
import { checkAnswers } from "./checkAnswers";
import { checkConfiguration } from "./checkConfiguration";
import { checkLeaving } from "./checkLeaving";
import type { HistoryBounds } from "./historyBounds";
import type { Violation } from "./violation";

/** Runs all checks on a history; the result depends only on the history and the bounds. */
export const checkHistory = (history: readonly HistoryRecord[], bounds: HistoryBounds): readonly Violation[] => [
    ...checkActions(history),
    ...checkAnswers(history),
    ...checkConfiguration(history, { inForceMs: bounds.inForceMs }),
    ...(bounds.leavingMs === undefined ? [] : checkLeaving(history, bounds.leavingMs)),
];
