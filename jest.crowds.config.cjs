// Runs the tests with crowds of clients against real processes, one at a time.
module.exports = {
    ...require("./jest.config.cjs"),
    testMatch: ["**/__tests__/**/*.crowd.spec.ts"],
    testPathIgnorePatterns: ["/node_modules/"],
    maxWorkers: 1,
};
