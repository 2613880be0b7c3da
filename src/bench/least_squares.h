#pragma once

#include <vector>

namespace sycamoredrum {

/// A value with its standard error.
struct Estimate {
  double value = 0;
  double error = 0;
};

/// Linear least-squares fit of `values[i]` to the regressors `rows[i]`. For a constant term, pass 1
/// as one of the regressors.
class LeastSquares {
 public:
  /// All rows must have the same length, and there must be at least as many rows as regressors. The
  /// matrix of the rows must have full rank; otherwise throws std::invalid_argument.
  LeastSquares(const std::vector<std::vector<double>>& rows, const std::vector<double>& values);

  /// Coefficient of a regressor.
  Estimate Coefficient(std::size_t regressor) const;

  /// Value of the fit at `row`, with the standard error of a single new observation.
  Estimate Predict(const std::vector<double>& row) const;

  /// Residual standard error, in the unit of the values.
  double Residual() const { return this->residual; }

 private:
  std::vector<std::vector<double>> inverse;  ///< Of the transposed row matrix times the row matrix.
  std::vector<double> coefficients;
  double residual = 0;
};

}  // namespace sycamoredrum
