import { renderTable } from "../output/renderTable";
import { lineRow } from "./lineRow";
import type { SpanStory } from "./spanStory";

/** Writes a span's story as text: the causes with their number, then the lines in order. */
export const spanText = ({ requests, causes, lines }: SpanStory): string =>
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
        renderTable([["TIME", "HOST", "EVENT", "FIELDS"], ...lines.map(lineRow)]),
    ].join("\n");
