import { renderTable } from "../output/renderTable";
import { lineRow } from "./lineRow";
import type { RequestStory } from "./requestStory";

/** Writes a story as text: the cause, then the lines in order. */
export const storyText = ({ requestId, cause, requestsBeside, lines }: RequestStory): string => {
    const rows = lines.map(line => {
        const [time = "", ...cells] = lineRow(line);
        return [time, line.fields["requestId"] === requestId ? "*" : "", ...cells];
    });
    return [
        `${requestId}: ${cause}`,
        `Other requests at the same upstreams meanwhile: ${requestsBeside}`,
        "",
        renderTable([["TIME", "", "HOST", "EVENT", "FIELDS"], ...rows]),
    ].join("\n");
};
