#pragma once

#include <vector>

namespace sycamoredrum {

/// A value with its standard error.
struct Estimate {
  double value = 0;
  double error = 0;
};

/// Linear least-squares fit of `values[i]` to the regressors `rows[i]`. Give 1 as a regressor to
/// get a constant term.
class LeastSquares {
 public:
  /// All rows have the same length, and there are at least as many rows as regressors. The matrix
  /// of the rows must have full rank.
  LeastSquares(const std::vector<std::vector<double>>& rows, const std::vector<double>& values);

  /// Coefficient of a regressor.
  Estimate Coefficient(std::size_t regressor) const;

  /// Value of the fit at `row`, with the standard error of a single new observation.
  Estimate Predict(const std::vector<double>& row) const;

  /// Root of the mean squared residual, in the unit of the values.
  double Residual() const { return this->residual; }

 private:
  std::vector<std::vector<double>> inverse;  ///< Of the product of the matrix and its transpose.
  std::vector<double> coefficients;
  double residual = 0;
};

}  // namespace sycamoredrum
