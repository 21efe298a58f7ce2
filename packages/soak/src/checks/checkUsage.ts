import type { SoakRecords } from "../records/soakRecords";
import { groupBy } from "./groupBy";
import type { Violation } from "./violation";

/** Checks that a window has one count, and a fencing number one holder. */
export const checkUsage = ({ usage }: SoakRecords): readonly Violation[] => {
    const windows = [...groupBy(usage, ({ window }) => window)].flatMap(([window, reports]) =>
        new Set(reports.map(({ counts }) => counts)).size > 1
            ? [{
                check: "one-count",
                subject: `window ${window}`,
                detail: reports.map(({ counts }) => counts).join(" "),
            }]
            : []
    );
    const holders = [...groupBy(usage, ({ fencingNumber }) => fencingNumber)].flatMap(([number, reports]) =>
        new Set(reports.map(({ holder }) => holder)).size > 1
            ? [{
                check: "one-holder",
                subject: `number ${number}`,
                detail: reports.map(({ holder }) => holder).join(" "),
            }]
            : []
    );
    return [...windows, ...holders];
};
