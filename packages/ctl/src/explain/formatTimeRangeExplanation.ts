import { renderTable } from "../output/renderTable";
import type { TimeRangeExplanation } from "./timeRangeExplanation";
import { toLogRow } from "./toLogRow";

/** Formats an explanation as text: the causes with their counts, then the log lines in time order. */
export const formatTimeRangeExplanation = ({ requests, causes, lines }: TimeRangeExplanation): string =>
    [
        `${requests} requests ended`,
        "",
        renderTable([
            ["COUNT", "CAUSE", "EXAMPLE", "HOSTS"],
            ...causes.map(({ count, cause, exampleId, hosts }) => [
                String(count),
                cause,
                exampleId,
                Object.entries(hosts).map(([host, number]) => `${host}=${number}`).join(" "),
            ]),
        ]),
        "",
        renderTable([["TIME", "HOST", "EVENT", "FIELDS"], ...lines.map(toLogRow)]),
    ].join("\n");
