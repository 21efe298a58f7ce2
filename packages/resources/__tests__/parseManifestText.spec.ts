import { parseManifestText, type ValidationIssue } from "@ibislanding/resources";

const VALID = `
[[resources]]
kind = "Service"
name = "payments"
team = "billing"
[resources.spec]
type = "plain"
`;

describe("parseManifestText", () => {
    it("fills in defaults", () => {
        const result = parseManifestText(VALID);
        expect(result.unwrap()).toEqual([{
            kind: "Service",
            name: "payments",
            team: "billing",
            spec: {
                type: "plain",
                repeatable: false,
                deduplicates: false,
                honoursFencing: false,
                timeoutMs: 30_000,
                routingPolicy: "cost-aware",
            },
        }]);
    });

    it("reports resource, field and value of all issues at once", () => {
        const text = `${VALID}timeoutMs = -1\ncolour = "red"\n${VALID.replace("payments", "Not Valid")}`;
        const issues = parseManifestText(text).val as readonly ValidationIssue[];
        expect(issues.map(issue => [issue.resource, issue.field, issue.value])).toEqual([
            ["Service/payments", "spec.timeoutMs", "-1"],
            ["Service/payments", "spec", expect.any(String)],
            ["Service/Not Valid", "name", "\"Not Valid\""],
        ]);
    });

    it.each(["", "[[resources]]", "resources = 3", "x = [", "[[resources]]\nkind = \"Nothing\"\n"])(
        "rejects %j with a reason",
        text => {
            const issues = parseManifestText(text).val as readonly ValidationIssue[];
            expect(issues.length).toBeGreaterThan(0);
            expect(issues.every(issue => issue.reason !== "")).toBe(true);
        },
    );
});
