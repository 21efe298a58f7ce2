import { type ConfigurationDocument, findResource } from "@ibislanding/resources";
import { canAccessTeam } from "../operators/canAccessTeam";
import type { Operator } from "../operators/operator";
import type { WatchEvent } from "./watchEvent";

/** Creates the watch event with the changes after a revision to resources of the operator's teams. */
export const watchEventOf = (
    document: ConfigurationDocument,
    afterRevision: number,
    operator: Operator,
): WatchEvent => {
    const changes = document.recentChanges.filter(({ revision }) => revision > afterRevision);
    const isComplete = changes.length === document.revision - afterRevision;
    const deleted = changes
        .flatMap(({ resources }) => resources)
        .filter(({ action, kind, name }) => action === "deleted" && findResource(document, kind, name) === undefined);
    return {
        revision: document.revision,
        snapshot: !isComplete,
        resources: document.resources.filter(({ team, version }) =>
            canAccessTeam(operator, team) && (!isComplete || version > afterRevision)
        ),
        deleted: isComplete ? deleted.map(({ kind, name }) => ({ kind, name })) : [],
        operations: changes.map(({ operationId, changedBy }) => ({ operationId, changedBy })),
    };
};
