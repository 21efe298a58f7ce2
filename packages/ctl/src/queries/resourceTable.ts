import type { ResourceResponse } from "../client/resourceResponse";
import { renderTable } from "../output/renderTable";
import { conditionStatus } from "./conditionStatus";

/** Renders resources as a table with their `InForce` and `Ready` conditions. */
export const resourceTable = (resources: readonly ResourceResponse[]): string =>
    renderTable([
        ["KIND", "NAME", "TEAM", "GENERATION", "VERSION", "IN FORCE", "READY"],
        ...resources.map(resource => [
            resource.kind,
            resource.name,
            resource.team,
            String(resource.generation),
            String(resource.version),
            conditionStatus(resource, "InForce"),
            conditionStatus(resource, "Ready"),
        ]),
    ]);
