import { renderTable } from "../output/renderTable";
import type { LogLine } from "./logLine";
import type { RequestStory } from "./requestStory";

const describe = ({ fields }: LogLine): string =>
    Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");

/** Writes a story as text: the cause, then the lines in order. */
export const storyText = ({ requestId, cause, requestsBeside, lines }: RequestStory): string => {
    const rows = lines.map(line => [
        new Date(line.atMs).toISOString(),
        line.fields["requestId"] === requestId ? "*" : "",
        line.host,
        line.event,
        describe(line),
    ]);
    return [
        `${requestId}: ${cause}`,
        `Other requests at the same upstreams meanwhile: ${requestsBeside}`,
        "",
        renderTable([["TIME", "", "HOST", "EVENT", "FIELDS"], ...rows]),
    ].join("\n");
};
