package quality

import "math"

// buckets is the number of histogram buckets, of equal width, for scores from 0 to 1.
const buckets = 20

// scores is a histogram of ratings with exponential decay: older ratings weigh less.
type scores struct {
	weight [buckets]float64
	total  float64 // weight of all ratings
	sum    float64 // weighted sum of the scores
}

// add multiplies the weights of the older scores by decay and adds a score with weight 1.
func (s *scores) add(score, decay float64) {
	for i := range s.weight {
		s.weight[i] *= decay
	}
	s.weight[bucketOf(score)]++
	s.total = s.total*decay + 1
	s.sum = s.sum*decay + score
}

func bucketOf(score float64) int {
	return min(max(int(score*buckets), 0), buckets-1)
}

// weightAbove returns the weight of the ratings at or above a threshold. The bucket that holds the threshold counts
// in proportion.
func (s *scores) weightAbove(threshold float64) float64 {
	bucket := bucketOf(threshold)
	fraction := min(max(float64(bucket+1)-threshold*buckets, 0), 1)
	sum := s.weight[bucket] * fraction
	for _, weight := range s.weight[bucket+1:] {
		sum += weight
	}
	return sum
}

// excess returns the weighted sum of the amounts by which ratings exceed a threshold.
func (s *scores) excess(threshold float64) float64 {
	var sum float64
	for i, weight := range s.weight {
		middle := (float64(i) + 0.5) / buckets
		sum += weight * max(middle-threshold, 0)
	}
	return sum
}

// priorSpread is the scale of the logistic distribution that scores are assumed to have around a prior mean.
const priorSpread = 0.1

// priorPass returns the probability, under that assumption, that a score reaches a threshold.
func priorPass(mean, threshold float64) float64 {
	return 1 / (1 + math.Exp((threshold-mean)/priorSpread))
}

// priorExcess returns the expected amount, under that assumption, by which a score exceeds a threshold. Its
// derivative by the mean is priorPass.
func priorExcess(mean, threshold float64) float64 {
	return priorSpread * math.Log1p(math.Exp((mean-threshold)/priorSpread))
}

// shrink returns the mean of an observed sum over total ratings and a prior that counts as n ratings.
func shrink(sum, total, prior, n float64) float64 {
	return (sum + prior*n) / (total + n)
}
