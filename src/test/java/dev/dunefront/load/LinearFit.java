package dev.dunefront.load;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** A straight line fitted to measured points by least squares. */
record LinearFit(double intercept, double slope, int points) {

  static LinearFit of(
      List<Measurement> points, ToDoubleFunction<Measurement> x, ToDoubleFunction<Measurement> y) {
    int n = points.size();
    double meanX = points.stream().mapToDouble(x).average().orElse(0);
    double meanY = points.stream().mapToDouble(y).average().orElse(0);
    double products = 0;
    double squares = 0;
    for (Measurement m : points) {
      double distance = x.applyAsDouble(m) - meanX;
      products += distance * (y.applyAsDouble(m) - meanY);
      squares += distance * distance;
    }
    double slope = squares == 0 ? 0 : products / squares;
    return new LinearFit(meanY - slope * meanX, slope, n);
  }

  double at(double x) {
    return intercept + slope * x;
  }
}
