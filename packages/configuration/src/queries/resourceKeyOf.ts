import type { RequestedChange } from "../documents/requestedChange";

/** Returns the `Kind/name` label of the resource that a change is about. */
export const resourceKeyOf = (change: RequestedChange): string => {
    const { kind, name } = change.action === "apply" ? change.manifest : change;
    return `${kind}/${name}`;
};
