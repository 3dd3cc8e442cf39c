#include "savorywick/steps/imagepairs.h"

namespace savorywick::steps {

namespace {

constexpr double forget = 0.995; // What an observation leaves of the weight of older ones.
constexpr double usualHarm = 0.04; // Of an image that nothing is known of.
constexpr double usualWeight = 6; // Observations that the usual harm counts for.
constexpr double imageWeight = 8; // Observations of a pair that those of its image count for.

} // namespace

double ImagePairs::harmOfImage(const std::string &fillIn) const
{
    const auto it = m_images.find(fillIn);
    const Evidence e = it == m_images.end() ? Evidence{} : it->second;
    return (e.over + usualHarm * usualWeight) / (e.seen + usualWeight);
}

double ImagePairs::harm(std::string_view serving, std::string_view fillIn) const
{
    const std::string image(fillIn);
    const auto it = m_pairs.find({std::string(serving), image});
    const Evidence e = it == m_pairs.end() ? Evidence{} : it->second;
    return (e.over + harmOfImage(image) * imageWeight) / (e.seen + imageWeight);
}

void ImagePairs::observe(std::string_view serving, bool overTarget,
                         std::span<const std::string> fillIns)
{
    double known = 0;
    for (const std::string &it : fillIns)
        known += harm(serving, it);
    for (const std::string &it : fillIns) {
        const double blame = overTarget ? harm(serving, it) / known : 0;
        for (Evidence *e : {&m_pairs[{std::string(serving), it}], &m_images[it]}) {
            e->seen = e->seen * forget + 1;
            e->over = e->over * forget + blame;
        }
    }
}

} // namespace savorywick::steps
