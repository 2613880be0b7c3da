#include "least_squares.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace sycamoredrum {
namespace {

// Guards against swapped coefficients and a wrong extrapolation. The points lie exactly on a plane.
TEST(LeastSquaresTest, FindsThePlaneThroughExactPoints) {
  const LeastSquares fit({{1, 0, 0}, {1, 1, 0}, {1, 0, 1}, {1, 2, 3}}, {5, 7, 2, 0});
  EXPECT_NEAR(fit.Coefficient(0).value, 5, 1e-9);
  EXPECT_NEAR(fit.Coefficient(1).value, 2, 1e-9);
  EXPECT_NEAR(fit.Coefficient(2).value, -3, 1e-9);
  EXPECT_NEAR(fit.Predict({1, 100, 10}).value, 175, 1e-7);
  EXPECT_NEAR(fit.Residual(), 0, 1e-9);
}

// Guards against a prediction error that does not grow with the distance of the extrapolation.
TEST(LeastSquaresTest, ErrorGrowsWithTheDistanceFromThePoints) {
  const LeastSquares fit({{1, 0}, {1, 1}, {1, 2}}, {0, 2, 2});
  EXPECT_NEAR(fit.Residual(), 0.8164965809, 1e-9);
  EXPECT_NEAR(fit.Coefficient(1).error, 0.5773502692, 1e-9);
  EXPECT_GT(fit.Predict({1, 100}).error, 10 * fit.Predict({1, 1}).error);
}

// Guards against results from points that do not determine the coefficients.
TEST(LeastSquaresTest, RefusesDependentRegressors) {
  EXPECT_THROW(LeastSquares({{1, 2}, {2, 4}, {3, 6}}, {1, 2, 3}), std::invalid_argument);
}

}  // namespace
}  // namespace sycamoredrum
