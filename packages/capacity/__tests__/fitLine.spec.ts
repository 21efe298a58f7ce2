import { fitLine } from "@ibislanding/capacity";

describe("fitLine", () => {
    it("finds the line through collinear points", () => {
        const { intercept, slope, greatestResidual } = fitLine([[8, 19], [16, 35], [64, 131]]);
        expect(intercept).toBeCloseTo(3);
        expect(slope).toBeCloseTo(2);
        expect(greatestResidual).toBeCloseTo(0);
    });

    it("reports the greatest residual, and a slope of 0 for a single point", () => {
        expect(fitLine([[0, 0], [1, 2], [2, 0]]).greatestResidual).toBeCloseTo(4 / 3);
        expect(fitLine([[8, 5]])).toEqual({ intercept: 5, slope: 0, greatestResidual: 0 });
    });
});
