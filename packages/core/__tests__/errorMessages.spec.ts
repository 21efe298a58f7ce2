import { ErrorCode, errorMessages, httpStatusOf } from "@ibislanding/core";

describe("error table", () => {
    it.each(Object.values(ErrorCode))("%s has a message and a status", code => {
        expect(errorMessages[code]).toMatch(/\.$/);
        expect(httpStatusOf(code)).toBeGreaterThanOrEqual(400);
    });
});
