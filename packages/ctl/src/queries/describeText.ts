import type { ResourceResponse } from "../client/resourceResponse";
import { flattenFields } from "../output/flattenFields";
import { formatTime } from "../output/formatTime";
import { renderTable } from "../output/renderTable";

const indent = (text: string): string => text.split("\n").map(line => `  ${line}`).join("\n");

/** Formats a resource with its spec, conditions and zones as text. */
export const describeText = (resource: ResourceResponse): string => {
    const { kind, name, team, generation, version, changedBy, changedAtMs, spec, status } = resource;
    const conditions = status.conditions.map(condition => [
        condition.type,
        condition.status,
        formatTime(condition.changedAtMs),
        condition.reason,
    ]);
    const zones = status.zones.map(zone => flattenFields(zone).map(([field, text]) => `${field}=${text}`).join(" "));
    return [
        renderTable([
            ["Resource:", `${kind}/${name}`],
            ["Team:", team],
            ["Generation:", `${generation} (observed ${status.observedGeneration})`],
            ["Version:", String(version)],
            ["Changed:", `${formatTime(changedAtMs)} by ${changedBy}`],
        ]),
        "Spec:",
        indent(renderTable(flattenFields(spec).map(([field, text]) => [field, text]))),
        "Conditions:",
        indent(renderTable([["TYPE", "STATUS", "SINCE", "REASON"], ...conditions])),
        "Zones:",
        indent(zones.length === 0 ? "none reported" : zones.join("\n")),
    ].join("\n");
};
