#include "least_squares.h"

#include <algorithm>
#include <boost/numeric/ublas/lu.hpp>
#include <boost/numeric/ublas/matrix.hpp>
#include <boost/numeric/ublas/vector.hpp>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace sycamoredrum {
namespace {

namespace ublas = boost::numeric::ublas;
using Matrix = ublas::matrix<double>;

Matrix Invert(Matrix matrix) {
  Matrix inverse = ublas::identity_matrix<double>(matrix.size1());
  ublas::permutation_matrix<std::size_t> permutation(matrix.size1());
  if (ublas::lu_factorize(matrix, permutation) != 0) {
    throw std::invalid_argument("the regressors are linearly dependent");
  }
  ublas::lu_substitute(matrix, permutation, inverse);
  return inverse;
}

}  // namespace

LeastSquares::LeastSquares(const std::vector<std::vector<double>>& rows,
                           const std::vector<double>& values) {
  const std::size_t width = rows.front().size();
  Matrix normal = ublas::zero_matrix<double>(width, width);
  ublas::vector<double> moment = ublas::zero_vector<double>(width);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    for (std::size_t j = 0; j < width; ++j) {
      moment(j) += rows[i][j] * values[i];
      for (std::size_t k = 0; k < width; ++k) {
        normal(j, k) += rows[i][j] * rows[i][k];
      }
    }
  }
  const Matrix inverted = Invert(normal);
  const ublas::vector<double> solution = ublas::prod(inverted, moment);
  this->coefficients.assign(solution.begin(), solution.end());
  this->inverse.assign(width, std::vector<double>(width));
  for (std::size_t j = 0; j < width; ++j) {
    for (std::size_t k = 0; k < width; ++k) {
      this->inverse[j][k] = inverted(j, k);
    }
  }
  double squares = 0;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const double difference = values[i] - this->Predict(rows[i]).value;
    squares += difference * difference;
  }
  const std::size_t freedom = std::max<std::size_t>(1, rows.size() - width);
  this->residual = std::sqrt(squares / static_cast<double>(freedom));
}

Estimate LeastSquares::Coefficient(std::size_t regressor) const {
  return Estimate{this->coefficients[regressor],
                  this->residual * std::sqrt(this->inverse[regressor][regressor])};
}

Estimate LeastSquares::Predict(const std::vector<double>& row) const {
  double leverage = 0;
  for (std::size_t j = 0; j < row.size(); ++j) {
    for (std::size_t k = 0; k < row.size(); ++k) {
      leverage += row[j] * this->inverse[j][k] * row[k];
    }
  }
  const double value = std::inner_product(row.begin(), row.end(), this->coefficients.begin(), 0.0);
  return Estimate{value, this->residual * std::sqrt(1 + leverage)};
}

}  // namespace sycamoredrum
