import { renderTable } from "../output/renderTable";
import type { RequestExplanation } from "./requestExplanation";
import { toLogRow } from "./toLogRow";

/** Writes a story as text: the cause, then the lines in order. */
export const formatRequestExplanation = ({ requestId, cause, requestsBeside, lines }: RequestExplanation): string => {
    const rows = lines.map(line => {
        const [time = "", ...cells] = toLogRow(line);
        return [time, line.fields["requestId"] === requestId ? "*" : "", ...cells];
    });
    return [
        `${requestId}: ${cause}`,
        `Other requests at the same upstreams meanwhile: ${requestsBeside}`,
        "",
        renderTable([["TIME", "", "HOST", "EVENT", "FIELDS"], ...rows]),
    ].join("\n");
};
