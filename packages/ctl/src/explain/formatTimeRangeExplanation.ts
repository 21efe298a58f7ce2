import { renderTable } from "../output/renderTable";
import type { TimeRangeExplanation } from "./timeRangeExplanation";
import { toLogRow } from "./toLogRow";

/** Writes a span's story as text: the causes with their number, then the lines in order. */
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
