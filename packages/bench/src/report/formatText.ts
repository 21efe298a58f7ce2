import { measures } from "./measures";
import type { PolicySummary } from "./policySummary";

const formatNumber = (value: number): string => {
    const digits = Math.abs(value) >= 100 ? 0 : 3;
    return value.toFixed(digits);
};

const NAME_WIDTH = 26;
const CELL_WIDTH = 36;

/** Formats a table with the median and range of each measure, and the ratio of its median to that of the first policy. */
export const formatText = (title: string, summaries: readonly PolicySummary[]): string => {
    const formatCell = (summary: PolicySummary, name: string): string => {
        const spread = summary.measures[name];
        const baseline = summaries[0]?.measures[name]?.median ?? 0;
        const ratio = baseline === 0 ? "-" : `x${((spread?.median ?? 0) / baseline).toFixed(2)}`;
        const range = `${formatNumber(spread?.minimum ?? 0)}..${formatNumber(spread?.maximum ?? 0)}`;
        return `${formatNumber(spread?.median ?? 0)} (${range}) ${ratio}`;
    };
    const header = `${"".padEnd(NAME_WIDTH)}${summaries.map(({ policy }) => policy.padEnd(CELL_WIDTH)).join("")}`;
    const rows = Object.keys(measures).map(name =>
        `${name.padEnd(NAME_WIDTH)}${summaries.map(summary => formatCell(summary, name).padEnd(CELL_WIDTH)).join("")}`
    );
    return [`${title}: median (range) ratio to the first policy`, header, ...rows].join("\n");
};
