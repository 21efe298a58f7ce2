import type { ValidationIssue } from "@ibislanding/resources";
import type { RequestedChange } from "../documents/requestedChange";
import { resourceKeyOf } from "./resourceKeyOf";

/** Returns an issue for each resource that the changes of one operation contain more than once. */
export const findDuplicates = (changes: readonly RequestedChange[]): readonly ValidationIssue[] => {
    const keys = changes.map(resourceKeyOf);
    const repeated = new Set(keys.filter((key, index) => keys.indexOf(key) !== index));
    return [...repeated].map(resource => ({
        resource,
        field: "",
        value: "",
        reason: "changed more than once in one operation",
    }));
};
