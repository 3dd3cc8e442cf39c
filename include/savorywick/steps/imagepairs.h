#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace savorywick::steps {

// Learns how often fill-in tasks of one image go with standing tasks of another one over their
// latency target.
//
// PairSlowdown measures by how much; here a few observations have to do, since a pair must be
// judged within seconds. What is known of an image beside others stands in for what is not known
// of a pair. An observation over the target is blamed on the images present in proportion to what
// is known against them. Not thread-safe.
//
// Example:
//   pairs.observe("quotes:3", true, images);
//   if (pairs.harm("quotes:3", "refresh:7") > 0.1) keepApart();
class ImagePairs
{
public:
    // Notes whether a standing task of image `serving` was over its target beside fill-in tasks of
    // the images `fillIns`, each named once. Without any the observation teaches nothing.
    void observe(std::string_view serving, bool overTarget, std::span<const std::string> fillIns);

    // Returns the estimated part of the time, 0 to 1, that a standing task of image `serving` is
    // over its target beside a fill-in task of image `fillIn`.
    double harm(std::string_view serving, std::string_view fillIn) const;

private:
    struct Evidence
    {
        double seen = 0;
        double over = 0;
    };
    using Key = std::pair<std::string, std::string>;

    double harmOfImage(const std::string &fillIn) const;

    std::map<Key, Evidence> m_pairs; // By standing and fill-in image.
    std::map<std::string, Evidence> m_images; // By fill-in image, beside whatever.
};

} // namespace savorywick::steps
