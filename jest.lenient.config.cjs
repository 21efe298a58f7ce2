// Runs the tests of answers with invalid heads; to be run with `--insecure-http-parser`, so that Node.js accepts what the parsers of
// some of its releases accept.
module.exports = {
    ...require("./jest.config.cjs"),
    testMatch: ["invalidFieldNames", "invalidHeads", "resetUploads"].map(name => `**/__tests__/**/${name}.spec.ts`),
};
