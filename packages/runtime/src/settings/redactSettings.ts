const SECRET_FIELD = /secret|password|token|privateKey$/i;

const redactValue = (field: string, value: unknown): unknown =>
    SECRET_FIELD.test(field) ? "(hidden)" : redactSettings(value);

/** Returns a copy of a settings value in which fields with secret-like names are replaced by a placeholder. */
export const redactSettings = (value: unknown): unknown => {
    if (Array.isArray(value)) {
        return value.map(redactSettings);
    }
    if (typeof value === "object" && value !== null) {
        return Object.fromEntries(Object.entries(value).map(([field, inner]) => [field, redactValue(field, inner)]));
    }
    return value;
};
