import type { RequestedChange } from "../documents/requestedChange";

/** Returns the key of the changed resource, in the form `Kind/name`. */
export const resourceKeyOf = (change: RequestedChange): string => {
    const { kind, name } = change.action === "apply" ? change.manifest : change;
    return `${kind}/${name}`;
};
