import { renderTable } from "../output/renderTable";
import type { RequestExplanation } from "./requestExplanation";
import { toLogRow } from "./toLogRow";

/** Formats an explanation as text: the cause, then the log lines in time order, with the request's own marked by `*`. */
export const formatRequestExplanation = ({ requestId, cause, requestsBeside, lines }: RequestExplanation): string => {
    const rows = lines.map(line => {
        const [time = "", ...cells] = toLogRow(line);
        return [time, line.fields["requestId"] === requestId ? "*" : "", ...cells];
    });
    return [
        `${requestId}: ${cause}`,
        `Concurrent requests at the same upstreams: ${requestsBeside}`,
        "",
        renderTable([["TIME", "", "HOST", "EVENT", "FIELDS"], ...rows]),
    ].join("\n");
};
